/** The ratio of one length bucket to the one before. */
const RATIO = 1.25;

/** Buckets; the last one holds everything from about 100,000 tokens on. */
const BUCKETS = 52;

/** How much a bucket without observations of its own weighs, in generations. */
const PRIOR_WEIGHT = 3;

/** The share of generations that end in a bucket when nothing at all is known: a heavy tail. */
const PRIOR_HAZARD = 0.12;

/** After how many ends the past counts half. */
const HALF_LIFE_ENDS = 1_000;

const LOG_RATIO = Math.log(RATIO);

/** The first length of a bucket. */
function getBucketStart(bucket: number): number {
  return bucket === 0 ? 0 : RATIO ** bucket;
}

/** The place of a length among the buckets, with its fraction. */
function getPlace(length: number): number {
  return length <= 1 ? 0 : Math.min(Math.log(length) / LOG_RATIO, BUCKETS - 1e-9);
}

/** The bucket of a length. */
export function getBucket(length: number): number {
  return Math.floor(getPlace(length));
}

/**
 * The lengths of one kind of generation, learned while they run: for each bucket, how many reached it and
 * how many ended in it. Running generations count for the buckets they have passed. Counting only ended
 * ones would make every kind look short at first, and the long ones would fill the engine's memory.
 */
export class LengthDistribution {
  private readonly reached = new Float64Array(BUCKETS);
  private readonly ended = new Float64Array(BUCKETS);
  private readonly logSurvival = new Float64Array(BUCKETS + 1);
  private ends = 0;
  private isStale = true;

  /** `parent` is a wider kind whose shares stand in where this one has seen little. */
  public constructor(private readonly parent?: LengthDistribution) {}

  /** Counts the buckets that a running generation has passed since `from`. */
  public recordProgress(from: number, to: number): void {
    for (let bucket = from; bucket < to; bucket += 1) {
      this.reached[bucket]! += 1;
    }
    this.isStale = this.isStale || to > from;
    this.parent?.recordProgress(from, to);
  }

  /** Counts the end of a generation whose earlier buckets are counted. */
  public recordEnd(bucket: number): void {
    this.reached[bucket]! += 1;
    this.ended[bucket]! += 1;
    this.ends += 1;
    this.isStale = true;
    if (this.ends >= HALF_LIFE_ENDS) {
      this.halve();
    }
    this.parent?.recordEnd(bucket);
  }

  /** The chance that a generation of `from` tokens goes on to `to`. */
  public getSurvival(from: number, to: number): number {
    this.refresh();
    return Math.exp(this.getLogSurvival(to) - this.getLogSurvival(from));
  }

  /** The same for many moments at once, each so many tokens on from `from`. */
  public fillSurvival(from: number, steps: readonly number[], out: Float64Array): void {
    this.refresh();
    const now = this.getLogSurvival(from);
    for (let i = 0; i < steps.length; i += 1) {
      out[i] = Math.exp(this.getLogSurvival(from + steps[i]!) - now);
    }
  }

  /** The mean number of tokens that a generation of `from` tokens still produces, up to `most` in all. */
  public getMeanRemaining(from: number, most: number): number {
    let mean = 0;
    let at = from;
    for (let bucket = getBucket(from) + 1; at < most; bucket += 1) {
      const next = bucket >= BUCKETS ? most : Math.min(getBucketStart(bucket), most);
      mean += this.getSurvival(from, (at + next) / 2) * (next - at);
      at = next;
    }
    return mean;
  }

  private getLogSurvival(length: number): number {
    const place = getPlace(length);
    const bucket = Math.floor(place);
    const low = this.logSurvival[bucket]!;
    return low + (this.logSurvival[bucket + 1]! - low) * (place - bucket);
  }

  private getHazard(bucket: number): number {
    const prior = this.parent?.getHazard(bucket) ?? PRIOR_HAZARD;
    const ended = this.ended[bucket]! + PRIOR_WEIGHT * prior;
    return ended / (this.reached[bucket]! + PRIOR_WEIGHT);
  }

  private refresh(): void {
    if (!this.isStale) {
      return;
    }
    this.isStale = false;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const hazard = Math.min(this.getHazard(bucket), 0.999);
      this.logSurvival[bucket + 1] = this.logSurvival[bucket]! + Math.log1p(-hazard);
    }
  }

  private halve(): void {
    this.ends = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      this.reached[bucket]! /= 2;
      this.ended[bucket]! /= 2;
    }
  }
}
