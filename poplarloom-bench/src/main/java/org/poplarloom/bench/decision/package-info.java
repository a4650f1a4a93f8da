/**
 * Experiments on the decisions of one shard, in virtual time with seeded randomness.
 */
package org.poplarloom.bench.decision;
