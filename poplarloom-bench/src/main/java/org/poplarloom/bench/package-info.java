/**
 * The command line of the experiments and the demo.
 */
package org.poplarloom.bench;
