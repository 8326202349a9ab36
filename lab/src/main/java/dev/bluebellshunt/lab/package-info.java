/** The main class and the commands that run stand-in services. */
@NullMarked
package dev.bluebellshunt.lab;

import org.jspecify.annotations.NullMarked;
