/**
 * What lives as long as the process: shard homes, ledgers, limits, membership and books.
 */
package org.poplarloom.core.process;
