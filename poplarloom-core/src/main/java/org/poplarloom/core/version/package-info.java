/**
 * Configuration versions: contracts, zone and instance states, routes, and the replay
 * that derives the configuration from log records.
 */
package org.poplarloom.core.version;
