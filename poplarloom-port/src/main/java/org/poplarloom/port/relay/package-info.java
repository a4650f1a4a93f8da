/**
 * The protocols of callers and endpoints, as the relay of requests uses them.
 */
package org.poplarloom.port.relay;
