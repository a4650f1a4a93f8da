/**
 * Ports to what the platform gives: log, instance list, weight store, endpoints and plain
 * services.
 */
package org.poplarloom.port;
