/** A stand-in for a plain service, which counts how often each request ran. */
@NullMarked
package dev.bluebellshunt.standins.application;

import org.jspecify.annotations.NullMarked;
