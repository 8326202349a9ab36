/** What operators configure and targets register, as immutable data. */
@NullMarked
package dev.bluebellshunt.relay.model;

import org.jspecify.annotations.NullMarked;
