/** What each workspace has used and is charged. */
@NullMarked
package dev.bluebellshunt.core.usage;

import org.jspecify.annotations.NullMarked;
