/**
 * Books of usage as they are published: pages in signed hash chains, and their audit.
 */
package org.poplarloom.core.usage;
