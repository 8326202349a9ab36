package dev.bluebellshunt.router.caller;

import dev.bluebellshunt.core.codec.Json;
import java.util.Collection;
import java.util.List;

/** Builds the response body of the model list. */
final class ModelList {

    private ModelList() {}

    static String json(Collection<String> models) {
        List<Model> data = models.stream()
                .sorted()
                .map(name -> new Model(name, "model", "bluebellshunt"))
                .toList();
        return Json.write(new ModelListResponse("list", data));
    }

    private record ModelListResponse(String object, List<Model> data) {}

    private record Model(String id, String object, String owned_by) {}
}
