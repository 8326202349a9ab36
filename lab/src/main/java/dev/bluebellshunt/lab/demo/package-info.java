/** The demo: a fleet of processes on loopback, generated traffic, injected faults, and a report on the guarantees. */
@NullMarked
package dev.bluebellshunt.lab.demo;

import org.jspecify.annotations.NullMarked;
