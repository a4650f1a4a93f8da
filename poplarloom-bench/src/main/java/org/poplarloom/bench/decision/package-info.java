/**
 * Simulations of the placement decisions of one shard, in virtual time and repeatable by
 * their seed.
 */
package org.poplarloom.bench.decision;
