/**
 * Decides which events of an engine's response belong to the client's stream. IDs increase from event to event, by any amount: an event
 * may hold several tokens. Events without an ID, such as a last one that only says so, belong where they stand between the others.
 */

/** An event as far as its place in the stream depends on it. */
export interface PositionedEvent {
  /** Absent if the event has none, or none that is a number. */
  id: bigint | undefined
  /** Whether the event carries no data. */
  isComment: boolean
}

export class StreamPosition<Event extends PositionedEvent> {
  /** ID of the last event that the client has. */
  lastEventId: bigint | undefined
  /** Events without an ID that the client has got after that one. */
  private unnumberedSinceLast = 0
  /** Events without an ID of which the next one with an ID shows whether the client has them. */
  private held: Event[] = []
  /** Further events without an ID that the client has already. */
  private known = 0
  /** Whether it is known that what comes next follows what the client has. */
  private isInPlace = true

  /** The client has all events up to `lastEventId`. */
  constructor (lastEventId: bigint | undefined) {
    this.lastEventId = lastEventId
  }

  /** Whether another response can continue the stream: without IDs nothing shows where it goes on. */
  get mayContinue (): boolean {
    return this.lastEventId !== undefined || this.unnumberedSinceLast === 0
  }

  /** Whether events are held back until their place is known. */
  get hasHeld (): boolean {
    return this.held.length > 0
  }

  /** A response begins. With `isContinuation`, the client has events of another one. */
  begin ({ isContinuation }: { isContinuation: boolean }): void {
    this.held = []
    this.known = isContinuation ? this.unnumberedSinceLast : 0
    this.isInPlace = !isContinuation
  }

  /** Returns the events that the client gets because of `event`, in order. */
  take (event: Event): Event[] {
    if (event.isComment) return [event]
    return event.id === undefined ? this.takeUnnumbered(event) : this.takeNumbered(event, event.id)
  }

  private takeNumbered (event: Event, id: bigint): Event[] {
    const held = this.held.splice(0)
    const { lastEventId } = this
    if (lastEventId !== undefined && id <= lastEventId) {
      // The response repeats what the client has, and the events without an ID before this one with it.
      if (id === lastEventId) this.isInPlace = true
      return []
    }
    const further = this.isInPlace ? [] : held.slice(this.known)
    this.isInPlace = true
    this.known = 0
    this.lastEventId = id
    this.unnumberedSinceLast = 0
    return [...further, event]
  }

  private takeUnnumbered (event: Event): Event[] {
    if (!this.isInPlace) {
      this.held.push(event)
      return []
    }
    if (this.known > 0) {
      this.known--
      return []
    }
    this.unnumberedSinceLast++
    return [event]
  }

  /** Whether a response that has ended in order ends the stream. What it holds back may be an error, or the stream from its start once more. */
  get isInPlaceAtEnd (): boolean {
    return this.held.length <= this.known
  }
}
