/**
 * The typed messages that instances send each other and their MessagePack form.
 */
package org.poplarloom.wire.message;
