/**
 * How the daemon learns, keeps and spreads configuration versions.
 */
package org.poplarloom.entry.version;
