package org.poplarloom.wire.message;

import java.util.List;
import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;

/**
 * A message between two instances.
 * <p>
 * The home of a shard is the instance that grants the shard's endpoints. Components of a
 * record keep their order and new ones are added at the end only, so that older instances
 * can ignore them. All implementations are immutable and thread-safe.
 */
public sealed interface Message {

	// A position that a frame lacks is read as null.
	private static TablePosition orNone(TablePosition position) {
		return (position != null) ? position : TablePosition.NONE;
	}

	/**
	 * The first message of a connection, from the side that accepted it.
	 *
	 * @param nonce random bytes in hexadecimal
	 */
	record Challenge(String nonce) implements Message {
	}

	/**
	 * The connecting side's reply to a {@link Challenge}, with a challenge of its own.
	 *
	 * @param instance the sender
	 * @param proof the HMAC of the challenge's nonce in hexadecimal
	 * @param nonce random bytes in hexadecimal
	 */
	record Hello(InstanceId instance, String proof, String nonce) implements Message {
	}

	/**
	 * The accepting side's reply to a {@link Hello}, which ends the handshake.
	 *
	 * @param instance the sender
	 * @param proof the HMAC of the other side's nonce in hexadecimal
	 */
	record Welcome(InstanceId instance, String proof) implements Message {
	}

	/**
	 * Reports that a request could not be handled.
	 *
	 * @param code the reason
	 * @param text an explanation
	 */
	record Failure(ErrorCode code, String text) implements Message {
	}

	/**
	 * Tells an instance of the same zone that the sender is alive, and the load of the
	 * shards whose home it is.
	 *
	 * @param incarnation when the sender's process started, in milliseconds since the
	 * epoch
	 * @param sequence the heartbeat sequence number, which increases
	 * @param offset the offset of the sender's configuration
	 * @param digest the digest of the sender's configuration
	 * @param loads the loads of the shards whose home the sender is
	 * @param operatorTable the position after the last record that the sender has read of
	 * the platform's table of operators
	 * @param endpointTable the same of the platform's table of endpoints
	 * @param copies the state of the sender's copies of the platform's tables, null if
	 * every instance reads them
	 * @param routingVersion the version of the routing table in force at the sender, 0 if
	 * there is none
	 */
	record Heartbeat(long incarnation, long sequence, long offset, long digest, List<ShardLoad> loads,
			TablePosition operatorTable, TablePosition endpointTable, TableCopies copies,
			long routingVersion) implements Message {

		public Heartbeat {
			operatorTable = orNone(operatorTable);
			endpointTable = orNone(endpointTable);
		}

	}

	/**
	 * How current the sender's copies of the platform's tables are by its own reads.
	 *
	 * @param canReadStore whether the sender's last reads of the tables succeeded
	 * @param operatorAgeMillis how long ago the sender's last read of the operators'
	 * table confirmed its copy, in milliseconds
	 * @param endpointAgeMillis the same of the table of endpoints
	 * @param instanceTable the position after the last record that the sender knows of
	 * the table of instances
	 */
	record TableCopies(boolean canReadStore, long operatorAgeMillis, long endpointAgeMillis,
			TablePosition instanceTable) {

		public TableCopies {
			instanceTable = orNone(instanceTable);
		}

	}

	/**
	 * The load of one shard of the sender's zone.
	 *
	 * @param index the index of the shard in the zone
	 * @param summary the load
	 */
	record ShardLoad(int index, HomeSummary summary) {
	}

	/**
	 * Spreads membership, the homes of shards and the version of the configuration.
	 *
	 * @param members members of the sender's zone, the sender first
	 * @param shards the homes of shards and their load
	 * @param offset the offset of the sender's configuration
	 * @param digest the digest of the sender's configuration
	 * @param zoneCommands zone commands that the log has not confirmed, as JSON, usually
	 * none
	 * @param crashes the crash counts of suspect requests, usually none
	 * @param operatorTable the position after the last record that the sender has read of
	 * the platform's table of operators
	 * @param endpointTable the same of the platform's table of endpoints
	 * @param routingVersion the version of the routing table in force at the sender, 0 if
	 * there is none
	 */
	record Gossip(List<Member> members, List<ShardStatus> shards, long offset, long digest, List<String> zoneCommands,
			List<CrashRegistry.Crash> crashes, TablePosition operatorTable, TablePosition endpointTable,
			long routingVersion) implements Message {

		public Gossip {
			operatorTable = orNone(operatorTable);
			endpointTable = orNone(endpointTable);
		}

	}

	/**
	 * Tells the homes that an endpoint crashed while it may have begun to answer a
	 * request.
	 *
	 * @param lifetime the endpoint and its boot, as far as its entry shows
	 * @param request the fingerprint of the request
	 * @param parts the parts of the request's prompt that other requests may share
	 * @param connectionAgeMillis how long ago the lost connection was opened, in
	 * milliseconds
	 */
	record CrashReport(String lifetime, String request, List<String> parts,
			long connectionAgeMillis) implements Message {
	}

	/**
	 * Asks when the last answers with possible causes of crashes began that survived.
	 *
	 * @param causes fingerprints of requests and parts of prompts
	 */
	record SurvivalQuery(List<String> causes) implements Message {
	}

	/**
	 * Replies to a {@link SurvivalQuery}.
	 *
	 * @param ages how long ago the last answer began that survived, for each cause in the
	 * order of the query, in milliseconds, -1 if the sender knows none
	 * @param counts how many answers survived in the last minutes, in the same order
	 */
	record SurvivalReply(List<Age> ages, List<Count> counts) implements Message {

		/**
		 * A number of answers.
		 *
		 * @param value the number
		 */
		public record Count(long value) {
		}

		/**
		 * An age.
		 *
		 * @param value the age in milliseconds
		 */
		public record Age(long value) {
		}

	}

	/**
	 * Requests the configuration.
	 *
	 * @param offset the offset of the configuration that the sender has
	 */
	record ConfigurationFetch(long offset) implements Message {
	}

	/**
	 * Carries a complete configuration, in reply to a {@link ConfigurationFetch}.
	 *
	 * @param snapshot the snapshot as JSON
	 */
	record ConfigurationContent(String snapshot) implements Message {
	}

	/**
	 * Requests a grant from the home of a shard.
	 *
	 * @param shard the shard
	 * @param request the request
	 * @param traceParent the parent span as the value of a {@code traceparent} header,
	 * empty for none
	 * @param sentMillis when the message was sent, in milliseconds by the sender's clock;
	 * all other times in the message are by that clock too
	 * @param isFailFast whether the home refuses the request instead of queueing it
	 */
	record AcquireGrant(ShardId shard, GrantRequest request, String traceParent, long sentMillis,
			boolean isFailFast) implements Message {
	}

	/**
	 * Reports that a request was granted.
	 *
	 * @param grant the grant
	 * @param addresses the addresses of the endpoints in the order of the grant's shares
	 * @param bootIds the boot ids of the endpoints in the same order
	 */
	record GrantAcquired(Grant grant, List<String> addresses, List<String> bootIds) implements Message {
	}

	/**
	 * Reports that a request for a grant was refused.
	 *
	 * @param code the reason
	 * @param retryAfterMillis after how long another attempt may succeed, in milliseconds
	 */
	record GrantRefused(ErrorCode code, long retryAfterMillis) implements Message {
	}

	/**
	 * Reports the first token of a granted request.
	 *
	 * @param shard the shard
	 * @param key the key of the grant
	 */
	record FirstToken(ShardId shard, String key) implements Message {
	}

	/**
	 * Reports that an endpoint has prefilled its segment of a long prompt.
	 *
	 * @param shard the shard
	 * @param key the key of the grant
	 * @param segment the index of the segment, from 0
	 */
	record SegmentPrefilled(ShardId shard, String key, int segment) implements Message {
	}

	/**
	 * Releases a grant or withdraws a request for one.
	 *
	 * @param shard the shard
	 * @param key the key of the grant
	 * @param failedEndpoint the endpoint whose process failed, or null
	 */
	record Release(ShardId shard, String key, EndpointId failedEndpoint) implements Message {
	}

	/**
	 * Announces to a new home all grants that the sender holds in its shard.
	 *
	 * @param shard the shard
	 * @param grants the grants
	 * @param sentMillis when the message was sent, in milliseconds by the sender's clock;
	 * all other times in the message are by that clock too
	 */
	record AnnounceGrants(ShardId shard, List<Grant> grants, long sentMillis) implements Message {
	}

	/**
	 * Acknowledges gossip or announced grants.
	 *
	 * @param isAccepted whether the sender has accepted the content; for announced
	 * grants, whether they are among the home's allocations
	 */
	record Acknowledgement(boolean isAccepted) implements Message {
	}

	/**
	 * Queries which configuration is in force at the receiver.
	 *
	 * @param publicationId the publication to check for being in force, empty for none
	 */
	record VersionQuery(String publicationId) implements Message {
	}

	/**
	 * Reports which configuration is in force at the sender.
	 *
	 * @param offset the offset of the configuration
	 * @param digest the digest of the configuration
	 * @param isInForce whether the publication of the query is in force
	 * @param grants the number of grants that the sender holds
	 */
	record VersionReply(long offset, long digest, boolean isInForce, int grants) implements Message {
	}

	/**
	 * Requests records of a platform table that the sender could not read from the
	 * platform.
	 *
	 * @param table the name of the table
	 * @param from the position after the last record that the sender has
	 * @param acceptsCompressed whether the sender can read a compressed reply
	 */
	record TableFetch(String table, TablePosition from, boolean acceptsCompressed) implements Message {

		public TableFetch {
			from = orNone(from);
		}

	}

	/**
	 * Carries records of a platform table, in reply to a {@link TableFetch}.
	 *
	 * @param table the name of the table
	 * @param next the position after the last record that the sender has read
	 * @param records the newest record of each key that has changed from the requested
	 * position on
	 * @param isCompressible whether the receiver can read the message in compressed form
	 */
	record TableContent(String table, TablePosition next, List<TableRecord> records,
			boolean isCompressible) implements Message {

		public TableContent {
			next = orNone(next);
		}

	}

	/**
	 * Announces that a platform table has new records.
	 *
	 * @param table the name of the table
	 * @param next the position after the last record that the sender has read
	 */
	record TableNotice(String table, TablePosition next) implements Message {

		public TableNotice {
			next = orNone(next);
		}

	}

	/**
	 * Tells the home of an endpoint's shard that the endpoint has said that it leaves.
	 *
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 */
	record EndpointLeaving(EndpointId endpoint, String bootId) implements Message {
	}

	/**
	 * Asks the receiver to run a caller's request, since the sender cannot reach the
	 * endpoints. The replies are an {@link Acknowledgement} at once, then either a
	 * {@link ForwardedRefusal} or a {@link ForwardedAnswer}, or a {@link ForwardedHead},
	 * any number of {@link ForwardedContent} and a {@link ForwardedEnd}.
	 *
	 * @param key identifies the forwarding, unique in the system
	 * @param method the HTTP method
	 * @param target the path and query as the caller sent them
	 * @param headers the headers as the caller sent them
	 * @param body the body
	 * @param remainingMillis the time left for the answer, in milliseconds
	 * @param lastEventId the last event that the caller has received, or -1
	 * @param maxAttempts how many endpoints may receive the request
	 * @param excluded endpoints that have failed the request
	 * @param routingVersion the version of the routing table in force at the sender
	 */
	record ForwardRequest(String key, String method, String target, List<Header> headers, Bytes body,
			long remainingMillis, long lastEventId, int maxAttempts, Set<EndpointId> excluded,
			long routingVersion) implements Message {
	}

	/**
	 * The status and headers of a stream.
	 *
	 * @param status the status
	 * @param reason the reason phrase
	 * @param headers the headers
	 */
	record ForwardedHead(int status, String reason, List<Header> headers) implements Message {
	}

	/**
	 * The next bytes of a stream, which are whole events.
	 *
	 * @param content the bytes
	 */
	record ForwardedContent(Bytes content) implements Message {
	}

	/**
	 * The end of a stream.
	 *
	 * @param isComplete false if it was broken off
	 */
	record ForwardedEnd(boolean isComplete) implements Message {
	}

	/**
	 * A complete answer.
	 *
	 * @param status the status
	 * @param reason the reason phrase
	 * @param headers the headers
	 * @param body the body
	 */
	record ForwardedAnswer(int status, String reason, List<Header> headers, Bytes body) implements Message {
	}

	/**
	 * Reports that the request was refused or has failed.
	 *
	 * @param code the reason
	 * @param executed whether an endpoint has executed it
	 * @param text an explanation
	 * @param retryAfterMillis after how long another attempt may succeed, in milliseconds
	 */
	record ForwardedRefusal(ErrorCode code, Executed executed, String text, long retryAfterMillis) implements Message {
	}

	/**
	 * Allows the receiver to send more of a stream.
	 *
	 * @param key the key of the forwarding
	 * @param bytes how many bytes the caller has taken since the last message
	 */
	record ForwardCredit(String key, long bytes) implements Message {
	}

	/**
	 * Ends a forwarded request whose answer nobody waits for any more.
	 *
	 * @param key the key of the forwarding
	 */
	record ForwardCancel(String key) implements Message {
	}

	/**
	 * An HTTP header.
	 *
	 * @param name the name
	 * @param text the value
	 */
	record Header(String name, String text) {
	}

	/**
	 * The newest record of a key in a platform table.
	 *
	 * @param key the key
	 * @param value the value, empty if the record is a tombstone
	 * @param position the position of the record
	 */
	record TableRecord(String key, String value, TablePosition position) {

		public TableRecord {
			position = orNone(position);
		}

	}

}
