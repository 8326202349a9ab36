/** Reads the operators' folder of INI files and each process's own settings. */
@NullMarked
package dev.bluebellshunt.configuration;

import org.jspecify.annotations.NullMarked;
