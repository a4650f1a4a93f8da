/**
 * The daemon's command line and settings.
 */
package org.poplarloom.entry;
