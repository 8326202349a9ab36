/** Benchmarks: what a router adds to a call, and how control work grows with the fleet. */
@NullMarked
package dev.bluebellshunt.lab.bench;

import org.jspecify.annotations.NullMarked;
