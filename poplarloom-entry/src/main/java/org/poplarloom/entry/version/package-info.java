/**
 * Reading, activating and publishing the configuration and routing versions.
 */
package org.poplarloom.entry.version;
