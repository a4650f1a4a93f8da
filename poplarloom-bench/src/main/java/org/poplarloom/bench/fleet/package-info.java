/**
 * Experiments that load real daemons on loopback.
 */
package org.poplarloom.bench.fleet;
