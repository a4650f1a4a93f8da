/**
 * A complete system on loopback: stand-ins of the platform and several daemons.
 */
package org.poplarloom.bench.demo;
