/** Parsing of the operators' configuration folder of INI files and of the settings of each process. */
@NullMarked
package dev.bluebellshunt.configuration;

import org.jspecify.annotations.NullMarked;
