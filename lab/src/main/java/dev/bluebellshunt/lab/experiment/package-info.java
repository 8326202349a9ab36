/** Simulations in virtual time that run the router's target selection against simulated engines. */
@NullMarked
package dev.bluebellshunt.lab.experiment;

import org.jspecify.annotations.NullMarked;
