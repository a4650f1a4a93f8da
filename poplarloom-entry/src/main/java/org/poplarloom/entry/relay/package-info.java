/**
 * Relays callers' requests to the endpoints that homes grant; a home is the instance that
 * grants the endpoints of one shard.
 */
package org.poplarloom.entry.relay;
