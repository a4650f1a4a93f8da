/**
 * Ports to what the platform provides: log, keyed tables, instance list, endpoints and
 * plain services.
 */
package org.poplarloom.port;
