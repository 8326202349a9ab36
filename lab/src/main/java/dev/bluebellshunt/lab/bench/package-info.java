/** Benchmarks of the router's overhead per call and of how control plane costs scale with the fleet. */
@NullMarked
package dev.bluebellshunt.lab.bench;

import org.jspecify.annotations.NullMarked;
