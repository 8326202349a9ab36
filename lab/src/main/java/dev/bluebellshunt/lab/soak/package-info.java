/** The soak: real processes under faults from outside, and checks of what callers were promised. */
@NullMarked
package dev.bluebellshunt.lab.soak;

import org.jspecify.annotations.NullMarked;
