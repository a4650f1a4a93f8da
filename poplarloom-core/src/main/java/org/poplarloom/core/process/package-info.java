/**
 * State that lives as long as the process: shard homes and their allocations, placement
 * policies, team limits, cluster membership, claims on orders and crash counts.
 */
package org.poplarloom.core.process;
