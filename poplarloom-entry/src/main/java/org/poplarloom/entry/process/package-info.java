/**
 * What lives as long as the daemon: homes, grants, gossip, books.
 */
package org.poplarloom.entry.process;
