/** The launcher and the commands that run stand-ins. */
@NullMarked
package dev.bluebellshunt.lab;

import org.jspecify.annotations.NullMarked;
