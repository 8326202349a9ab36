/** Small fakes at the interfaces of the decisions, all under an injected clock. */
@NullMarked
package dev.bluebellshunt.core.testing;

import org.jspecify.annotations.NullMarked;
