/** The product's command line. */
@NullMarked
package dev.bluebellshunt.cli;

import org.jspecify.annotations.NullMarked;
