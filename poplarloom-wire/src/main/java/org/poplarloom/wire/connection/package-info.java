/**
 * State of one connection between two instances: framing, authentication and pending
 * requests.
 */
package org.poplarloom.wire.connection;
