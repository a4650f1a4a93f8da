/**
 * What lives for one connection between two instances: framing, authentication, pending
 * requests.
 */
package org.poplarloom.wire.connection;
