/** Stand-in for an application target, which counts how often each request was executed. */
@NullMarked
package dev.bluebellshunt.standins.application;

import org.jspecify.annotations.NullMarked;
