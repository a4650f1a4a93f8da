/**
 * Experiments with real daemons on loopback.
 */
package org.poplarloom.bench.fleet;
