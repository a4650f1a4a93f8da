/**
 * State that lives as long as the process: the listening socket and the connections to
 * peers.
 */
package org.poplarloom.wire.process;
