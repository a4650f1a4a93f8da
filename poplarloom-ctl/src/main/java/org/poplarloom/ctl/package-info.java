/**
 * The operators' client.
 */
package org.poplarloom.ctl;
