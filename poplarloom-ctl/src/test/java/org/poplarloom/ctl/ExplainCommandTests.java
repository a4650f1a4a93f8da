package org.poplarloom.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;

/**
 * Tests for {@link ExplainCommand}.
 * <p>
 * They guard against an explanation that mixes in lines of other requests (one request's
 * id can be the start of another's), loses the order of time across several logs, or
 * shows state changes of other endpoints or times.
 */
public class ExplainCommandTests {

	private Path directory;

	private Path entryLog;

	private Path otherLog;

	@BeforeMethod
	public void writeLogs() throws IOException {
		this.directory = Files.createTempDirectory("logs");
		this.entryLog = this.directory.resolve("edge-1.log");
		this.otherLog = this.directory.resolve("edge-2.log");
		Files.write(this.entryLog,
				List.of("09:00:01.000 INFO  E - endpoint=i-7 event=listed lifetime=1",
						"09:00:25.000 INFO  E - endpoint=i-7 event=gone silent_ms=900",
						"09:00:25.100 INFO  E - endpoint=i-8 event=gone silent_ms=900",
						"09:00:25.200 INFO  R - request=ab12 event=attempt_failed endpoint=i-7 faulty=null",
						"09:00:25.300 INFO  R - request=ab123 event=ended outcome=streamed",
						"09:00:25.400 INFO  R - request=ab12 event=ended outcome=no_endpoint",
						"09:00:26.000 INFO  C - event=configuration version=9", "no time of day"));
		Files.write(this.otherLog, List.of("09:00:20.000 INFO  P - event=endpoints_listed changed=195 known=200",
				"09:00:25.250 INFO  T - ticket=ab12.1 event=order_failed endpoint=i-9"));
	}

	@AfterMethod(alwaysRun = true)
	public void deleteLogs() throws IOException {
		Files.delete(this.entryLog);
		Files.delete(this.otherLog);
		Files.delete(this.directory);
	}

	private String explain(String request, Path... files) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		new ExplainCommand(new PrintStream(out, true, StandardCharsets.UTF_8)).run(request,
				List.of(files).stream().map(Path::toString).toList());
		return out.toString(StandardCharsets.UTF_8);
	}

	@Test
	public void linesOfOneRequestInSeveralLogsArePrintedInOrderOfTime() {
		String text = explain("ab12", this.entryLog, this.otherLog);
		int attemptFailed = text.indexOf("attempt_failed");
		int orderFailed = text.indexOf("order_failed");
		int ended = text.indexOf("outcome=no_endpoint");
		Assert.assertTrue(0 < attemptFailed && attemptFailed < orderFailed && orderFailed < ended, text);
		Assert.assertFalse(text.contains("ab123"), text);
	}

	@Test
	public void stateChangesOfItsEndpointsUpToTenSecondsBeforeFollowTheLinesOfTheRequest() {
		String text = explain("ab12", this.entryLog, this.otherLog);
		Assert.assertTrue(text.indexOf("event=gone silent_ms=900") > text.indexOf("outcome=no_endpoint"), text);
		Assert.assertFalse(text.contains("event=listed"), "more than 10 s before the request: " + text);
		Assert.assertTrue(text.contains("event=endpoints_listed"), text);
		Assert.assertFalse(text.contains("i-8"), "another endpoint: " + text);
		Assert.assertFalse(text.contains("version=9"), "after the end of the request: " + text);
	}

	@Test
	public void printedLineNamesItsFileAndLineNumber() {
		Assert.assertTrue(explain("ab12", this.entryLog).contains(this.entryLog + ":6: 09:00:25.400"));
	}

	@Test
	public void requestThatNoLineNamesFailsWithNotFound() {
		PoplarloomException failure = Assert.expectThrows(PoplarloomException.class,
				() -> explain("nobody", this.entryLog));
		Assert.assertEquals(failure.code(), ErrorCode.NOT_FOUND);
		Assert.assertTrue(failure.getMessage().contains("'nobody'"), failure.getMessage());
	}

	@Test
	public void unreadableFilesAreAllNamedInOneError() {
		PoplarloomException failure = Assert.expectThrows(PoplarloomException.class,
				() -> explain("ab12", Path.of("missing-1"), this.entryLog, Path.of("missing-2")));
		Assert.assertTrue(failure.getMessage().contains("missing-1"), failure.getMessage());
		Assert.assertTrue(failure.getMessage().contains("missing-2"), failure.getMessage());
	}

	@Test
	public void explainWithoutArgumentsExitsWithOneAndWithArgumentsWithZero() {
		Assert.assertEquals(PoplarloomCtl.run("explain"), 1);
		Assert.assertEquals(PoplarloomCtl.run("explain", "ab12", this.entryLog.toString()), 0);
	}

}
