/** Accounting of the usage charged to each workspace. */
@NullMarked
package dev.bluebellshunt.core.usage;

import org.jspecify.annotations.NullMarked;
