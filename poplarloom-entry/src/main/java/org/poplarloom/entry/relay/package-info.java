/**
 * Relays callers' requests of any kind to the endpoints that homes grant.
 */
package org.poplarloom.entry.relay;
