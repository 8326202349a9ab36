/** Experiments in virtual time: the router's real decisions before stand-in engines. */
@NullMarked
package dev.bluebellshunt.lab.experiment;

import org.jspecify.annotations.NullMarked;
