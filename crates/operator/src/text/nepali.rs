//! Messages in Nepali.

use super::MessageCode;

pub(super) fn template(code: MessageCode) -> &'static str {
    match code {
        MessageCode::Accepted => "{0}: {2} मा संस्करण {1} को रूपमा स्वीकृत भयो।",
        MessageCode::LostRace => {
            "अस्वीकृत: {1} मा अर्को आदेशले संस्करण {0} पहिले लियो। तपाईंको आदेश लागू भएको छैन।"
        }
        MessageCode::Winner => "संस्करण {0}: {1}, {2} द्वारा। कारण: {3}",
        MessageCode::NothingToDo => "{0}: {1} मा पहिले नै त्यस्तै छ; केही गर्नु पर्दैन।",
        MessageCode::Unknown => {
            "अज्ञात: आदेश लगमा छ वा छैन थाहा भएन। उही आदेश फेरि चलाउनुहोस्: त्यो दुई पटक गनिँदैन। अभिलेख {0}"
        }
        MessageCode::LogDown => "लग सेवा {0} ले जवाफ दिएन। केही गरिएन; यो फेरि चलाउन सुरक्षित छ।",
        MessageCode::BaseNeeded => "{1} मा संस्करण {0} लागू छ। त्यसलाई हेरेर --base {0} दिनुहोस्।",
        MessageCode::NotInTrial => "अस्वीकृत: कागजात {0} trial मा स्वीकृत भएको छैन।",
        MessageCode::NotInHistory => "अस्वीकृत: {0} {1} को इतिहासमा छैन।",
        MessageCode::UnknownZone => "अस्वीकृत: उपलब्धता क्षेत्र {0} छैन। भएका: {1}",
        MessageCode::NothingInForce => "{0} मा अझै केही लागू छैन।",
        MessageCode::RecordsMissed => "के लागू छ भन्ने लगले अब बताउँदैन, र कुनै प्रतिलिपि पनि छैन। केही गरिएन।",
        MessageCode::DocumentRight => "{0} ठीक छ। डाइजेस्ट {1}। चेतावनी: {2}",
        MessageCode::DocumentWrong => "{0} अस्वीकृत छ। त्रुटि: {1}। चेतावनी: {2}। सूचीमा नभएका: {3}",
        MessageCode::Everywhere => "संस्करण {0} थाहा भएका सबै नोडमा लागू छ ({1})।",
        MessageCode::NotEverywhere => "संस्करण {0}, {2} मध्ये {1} नोडमा लागू छैन।",
        MessageCode::Waiting => "पर्खँदै: संस्करण {0}, {2} मध्ये {1} नोडमा।",
        MessageCode::LagUnreachable => "{0}: जवाफ दिँदैन।",
        MessageCode::LagNoLog => "{0}: संस्करण {1} छ; लग सेवासम्म पुग्दैन।",
        MessageCode::LagBehind => "{0}: संस्करण {1} छ; अझै पढ्दै छ।",
        MessageCode::NodeNeeded => "कुनै नोडको प्रशासन ठेगाना दिनुहोस्: --node http://IP:PORT",
        MessageCode::NodeDown => "नोड {0} ले जवाफ दिएन: {1}",
        MessageCode::KeyOwned => "{1} को कुञ्जी {0} भाग {2} मा छ; {3} सँग फेन्स {4} अन्तर्गत छ।",
        MessageCode::KeyUnowned => "{1} को कुञ्जी {0} भाग {2} मा छ; अहिले तालिकामा कुनै नोड छैन।",
        MessageCode::NothingFound => "{0} बारे कुनै नोडलाई केही सम्झना छैन।",
        MessageCode::UnknownService => "सेवा {0} छैन। भएका: {1}",
        MessageCode::Same => "कुनै फरक छैन।",
        MessageCode::RejectedOther => "अस्वीकृत: {0}",
        MessageCode::UnknownDigest => "{0} ले एउटै कागजात जनाउँदैन। डाइजेस्टका थप अङ्क दिनुहोस्।",
        MessageCode::KeyUnsure => {
            "{1} को कुञ्जी {0} भाग {2} मा छ; तालिकाले {3} भन्छ, तर त्यसले पुष्टि गर्दैन।"
        }
        MessageCode::ForeignDocument => "कागजात {0} वातावरणको हो, सेटिङ {1} को। केही गरिएन।",
        MessageCode::BadName => "{0} नाम होइन। नाममा 1 देखि 63 अक्षर हुन्छन्: a-z, 0-9, र बीचमा -।",
        MessageCode::FewServers => "{0}: {2} मध्ये {1} सर्भर थाहा छ; अरूका लागि पछ्याउने नोड छैन।",
    }
}
