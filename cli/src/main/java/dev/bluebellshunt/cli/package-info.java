/** The command-line interface of the product. */
@NullMarked
package dev.bluebellshunt.cli;

import org.jspecify.annotations.NullMarked;
