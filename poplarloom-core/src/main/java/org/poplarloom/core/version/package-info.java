/**
 * What lives for one configuration version: contracts, zone and instance states, and the
 * fold that derives them from log records.
 */
package org.poplarloom.core.version;
