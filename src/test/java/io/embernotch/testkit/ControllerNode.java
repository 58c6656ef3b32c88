package io.embernotch.testkit;

import io.embernotch.controller.Controller;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.Settings;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The machine of one controller. Each start begins a new incarnation of the process. */
public final class ControllerNode {
  /** Its position in {@link SimulatedCluster#nodes}. */
  public final int index;

  public final Settings settings;

  /** The controller of the present incarnation, or of the last one while it is down. */
  public Controller controller;

  /** The process has ended and was not started again. */
  public boolean down;

  /** The store refuses its requests. */
  public boolean storeUnavailable;

  /** The store does not answer at all, rather than refuse; while {@link #storeUnavailable}. */
  public boolean storeUnresponsive;

  /** Lists that the store sends it arrive so many seconds late. */
  public double storeListDelayS;

  /** No frame to or from another controller arrives. */
  public boolean peersUnreachable;

  /** Neither commands to workers nor heartbeats from them arrive. */
  public boolean workersUnreachable;

  private final ControllerFactory factory;
  private int incarnation;
  private int formerContradictions;
  private BiConsumer<Frame, PeerLink.ReplyChannel> frameHandler;
  private Consumer<PeerLink.ReplyChannel> greeter = replies -> {};

  ControllerNode(int index, Settings settings, ControllerFactory factory) {
    this.index = index;
    this.settings = settings;
    this.factory = factory;
  }

  /** Starts the process. */
  public void start() {
    incarnation++;
    down = false;
    controller = factory.create(this);
    controller.start();
  }

  /** Ends the process: its timers and the responses to its calls go nowhere. */
  public void kill() {
    if (!down) {
      formerContradictions += controller.answerContradictions();
    }
    down = true;
    incarnation++;
  }

  /** Answers of all incarnations that contradicted an end that was known there. */
  int answerContradictions() {
    return formerContradictions + (down ? 0 : controller.answerContradictions());
  }

  /** Number of the present incarnation; what an earlier one waited for must not reach it. */
  int incarnation() {
    return incarnation;
  }

  void onFrame(BiConsumer<Frame, PeerLink.ReplyChannel> handler) {
    frameHandler = handler;
  }

  void onConnected(Consumer<PeerLink.ReplyChannel> newGreeter) {
    greeter = newGreeter;
  }

  /** Another process has connected to this one. */
  void greet(PeerLink.ReplyChannel replies) {
    greeter.accept(replies);
  }

  void receive(Frame frame, PeerLink.ReplyChannel replies) {
    frameHandler.accept(frame, replies);
  }

  /** Whether a fault keeps it from exchanging messages with a worker in the given zone. */
  boolean isPartitionedFromWorkers(NetworkFaults faults, String workerZone) {
    return workersUnreachable || faults.separates(settings.location(), workerZone);
  }
}
