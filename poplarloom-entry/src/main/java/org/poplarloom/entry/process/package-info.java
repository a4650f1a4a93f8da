/**
 * The components that run as long as the daemon: the node, homes, gossip, copies of the
 * platform's tables, claims and usage.
 */
package org.poplarloom.entry.process;
