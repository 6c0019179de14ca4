//! Messages in Nepali; `{0}` is the field, `{1}` what was found, `{2}` what is right.

use crate::document::ProblemCode;

pub(super) fn template(code: ProblemCode) -> &'static str {
    match code {
        ProblemCode::MissingFile => "फाइल {1} पढ्न सकिएन: {2}",
        ProblemCode::Empty => "फाइल खाली छ।",
        ProblemCode::TooLarge => "फाइलमा {1} बाइट छन्; बढीमा {2} बाइट मान्य छ।",
        ProblemCode::TooDeep => "सूची र वस्तुहरू {2} तहभन्दा गहिरो छन्।",
        ProblemCode::NotUtf8 => "बाइट {1} UTF-8 पाठ होइन।",
        ProblemCode::Syntax => "यो JSON होइन: {1}",
        ProblemCode::UnknownField => "अज्ञात फिल्ड {1}। यहाँ मान्य फिल्डहरू: {2}",
        ProblemCode::MissingField => "फिल्ड {1} छुटेको छ।",
        ProblemCode::WrongType => "{0} {2} हुनुपर्छ, {1} होइन।",
        ProblemCode::WrongUnit => "{1} को एकाइ फरक छ। यसरी लेख्नुहोस्: {2}",
        ProblemCode::RepeatedField => "फिल्ड {1} दुई पटक छ।",
        ProblemCode::BadName => "{1} नाम होइन। नाममा १ देखि ६३ अक्षर हुन्छन्: a-z, 0-9, र बीचमा -।",
        ProblemCode::OutOfRange => "{0} {1} छ; मान्य: {2}।",
        ProblemCode::NotWhole => "{0} {1} छ; पूर्णाङ्क हुनुपर्छ।",
        ProblemCode::UnknownChoice => "{0} {1} छ; मान्य: {2}।",
        ProblemCode::Zero => "{0} कम्तीमा 1 हुनुपर्छ।",
        ProblemCode::TooMany => "{0} मा {1} वटा छन्; बढीमा {2} वटा मान्य छ।",
        ProblemCode::BadPath => {
            "{1} मार्ग होइन। /text/{3} जस्तो लेख्नुहोस्; हरेक भागमा a-z, A-Z, 0-9, . _ ~ - मात्र, र {3} बढीमा एक पटक।"
        }
        ProblemCode::DuplicateZone => "उपलब्धता क्षेत्र {1} दुई पटक छ; पहिलो {2} मा छ।",
        ProblemCode::DuplicateService => "सेवा {1} दुई पटक छ; पहिलो {2} मा छ।",
        ProblemCode::DuplicateRoute => "मार्ग {1} दुई पटक छ; पहिलो {2} मा छ।",
        ProblemCode::OverlappingRoute => "{1} र {2} उही अनुरोधसँग मिल्छन्।",
        ProblemCode::ColdAboveSlots => "cold_slots {1} छ, जुन slots {2} भन्दा बढी हो।",
        ProblemCode::KeyMissing => {
            "मार्ग {1} मा {3} चाहिन्छ: सेवा कुञ्जीअनुसार बाँडिएको छ, वा मार्ग दोहोर्‍याउन मिल्दैन।"
        }
        ProblemCode::DeadlineTooShort => "deadline_ms {1} छ, जुन लक्ष्यको latency_ms {2} भन्दा कम हो।",
        ProblemCode::LeaseTooShort => {
            "lease_ms {1} छ; यस heartbeat_ms र margin_ms सँग कम्तीमा {2} हुनुपर्छ।"
        }
        ProblemCode::TightObjective => "लक्ष्य {1} ms छ, तर नेटवर्कलाई मात्रै {2} ms लाग्छ।",
        ProblemCode::SlotsAboveConnections => {
            "slots {1} छ, तर {2} जडान मात्र स्वीकारिन्छ: केही स्थान खाली रहन्छन्।"
        }
        ProblemCode::FewServers => "{2} उपलब्धता क्षेत्रका लागि {1} सर्भर छन्: कुनै क्षेत्रमा एउटा पनि छैन।",
        ProblemCode::LoneServer => "एउटा मात्र सर्भर छ: त्यो गुमेमा कसैले जवाफ दिँदैन।",
        ProblemCode::NoBudget => "good_percent 100 छ: एउटै खराब अनुरोधले लक्ष्य टुट्छ।",
        ProblemCode::SlowTakeover => {
            "सर्भर गुमेपछि कुञ्जी {1} ms सम्म अनुपलब्ध हुन सक्छ; बढीमा {2} ms चाहिएको छ।"
        }
        ProblemCode::FewZones => {
            "{1} उपलब्धता क्षेत्र छन्; {2} भन्दा कम हुँदा एउटा गुम्दा स्वामित्व परिवर्तन रोकिन्छ।"
        }
        ProblemCode::FewSlices => "{2} सर्भरका लागि {1} भाग छन्: कुनै सर्भरसँग एउटा पनि हुँदैन।",
    }
}
