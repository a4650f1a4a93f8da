/**
 * The command line and settings of the entry instance.
 */
package org.poplarloom.entry;
