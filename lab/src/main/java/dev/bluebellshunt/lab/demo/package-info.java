/** The demonstration: a fleet of processes on loopback, real traffic, faults, and a report of promises kept. */
@NullMarked
package dev.bluebellshunt.lab.demo;

import org.jspecify.annotations.NullMarked;
