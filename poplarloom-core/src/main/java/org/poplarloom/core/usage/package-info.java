/**
 * Usage ledgers, published as pages in signed hash chains, and their audit.
 */
package org.poplarloom.core.usage;
