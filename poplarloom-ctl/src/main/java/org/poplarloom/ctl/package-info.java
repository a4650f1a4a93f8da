/**
 * The operators' command line client.
 */
package org.poplarloom.ctl;
