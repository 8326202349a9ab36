/** The operators' configuration as immutable, validated values. */
@NullMarked
package dev.bluebellshunt.core.model;

import org.jspecify.annotations.NullMarked;
