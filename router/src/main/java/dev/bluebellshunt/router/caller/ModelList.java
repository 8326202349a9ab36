package dev.bluebellshunt.router.caller;

import dev.bluebellshunt.core.codec.Json;
import java.util.Collection;
import java.util.List;

/** The answer to a question for the list of models. */
final class ModelList {

    private ModelList() {}

    static String json(Collection<String> models) {
        List<Model> data = models.stream()
                .sorted()
                .map(name -> new Model(name, "model", "bluebellshunt"))
                .toList();
        return Json.write(new Listing("list", data));
    }

    private record Listing(String object, List<Model> data) {}

    private record Model(String id, String object, String owned_by) {}
}
